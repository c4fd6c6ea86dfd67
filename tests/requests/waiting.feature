Feature: Requests wait until their model or adapter is loaded

  Scenario: A request for an adapter does not wait for a further replica of its model
    Given an engine that serves a model and one that will serve it in 4000 ms
    When a caller that waits 3000 ms requests an adapter of it that no engine holds
    Then after 100 ms the request still waits
    When the first engine is reported to hold the adapter
    Then the request goes to the first engine

  Scenario: A request whose model loads too late is refused at once with a time to retry
    Given an engine that will serve a model in 4000 ms
    When a caller that waits 3000 ms requests the model
    Then the request is refused at once, to be retried after 0.5 s or more

  Scenario: A first send after an upstream that was not reached is not logged as resumed
    Given a request whose first upstream was not reached and whose second one streamed
    Then its attempt is logged as the first send and not as resumed
