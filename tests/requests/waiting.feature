Feature: Requests wait until their model or adapter is loaded

  Scenario: A request for an adapter does not wait for a further replica of its model
    Given an engine that holds a model and one that is expected to hold it in 4000 ms
    When a caller that waits 3000 ms requests an adapter of the model that no engine holds
    Then after 100 ms the request still waits
    When the first engine is reported to hold the adapter
    Then the request goes to the first engine

  Scenario: A request whose model loads too late is refused at once with a time to retry
    Given an engine that is expected to hold a model in 4000 ms
    When a caller that waits 3000 ms requests the model
    Then the request is refused at once with a Retry-After of 0.5 s or more

  Scenario: A request that waits for its model is refused before its VM ends
    Given an engine that is expected to hold a model in 4000 ms
    When a caller that waits 8000 ms requests the model
    And the VM is to end in 2000 ms
    Then after 1500 ms the request still waits
    And after 500 ms more it is refused

  Scenario: The first send is not logged as resumed when an earlier upstream was not reached
    Given a request whose first upstream was not reached and whose second one streamed
    Then its attempt is logged as the first send and not as resumed
