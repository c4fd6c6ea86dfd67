Feature: Requests wait for what they ask for

  Scenario: An adapter of a model that serves is not waited for with a further replica
    Given an engine that serves a model and one that will serve it in 4000 ms
    When a caller asks for an adapter of it that no engine holds, with 3000 ms of patience
    Then after 100 ms the request still waits
    When the first engine's adapter is told to be there
    Then the request goes to the first engine

  Scenario: A model that comes too late is refused at once, with the time to come back
    Given an engine that will serve a model in 4000 ms
    When a caller asks for the model, with 3000 ms of patience
    Then the request is refused at once, to come back after 0.5 s or more

  Scenario: A first send after an upstream that was not reached is logged as no resumption
    Given a request whose first upstream was not reached and whose second one streamed
    Then its attempt is logged as the first send and not as resumed
