Feature: A request with an Idempotency-Key runs at most once, and "not run" is reported only if it did not run

  Scenario: The answer is lost after the request ran
    Given the shared local deployment
    And the service executes its next request but its answer is lost
    When a request with an Idempotency-Key is sent to entry 0
    Then it is answered with status 502 and outcome "unknown"
    When the same request is sent to entry 1
    Then it is answered with status 409 and outcome "unknown"
    And the service executed the request 1 time(s)

  Scenario: The same key at two entries at the same time
    Given the shared local deployment
    And the service takes 300 ms
    When a request with an Idempotency-Key is sent to both entries at once
    Then one of them has the answer and the other is refused or has the same answer
    And the service executed the request 1 time(s)

  Scenario: An answered request is retried at another entry
    Given the shared local deployment
    When a request with an Idempotency-Key is sent to entry 0
    Then it is answered with status 200
    When the same request is sent to entry 1
    Then it is answered with status 200
    And the answer is the first one, marked as replayed
    And the service executed the request 1 time(s)

  Scenario: The same key with another body
    Given the shared local deployment
    When a request with an Idempotency-Key is sent to entry 0
    And another body is sent with the same key to entry 1
    Then it is answered with status 422 and outcome "not_run"

  Scenario: The store is down
    Given the shared local deployment
    And the store is down
    When a request with an Idempotency-Key is sent to entry 0
    Then it is answered with status 503 and outcome "not_run"
    And the answer has a Retry-After header
    And the service executed the request 0 time(s)
    And requests without a key are served

  Scenario: The store's answer to the claim is lost
    Given the shared local deployment
    And the store executes its next transaction but its answer is lost
    When a request with an Idempotency-Key is sent to entry 0
    Then it is answered with status 200
    And the service executed the request 1 time(s)

  Scenario: The entry is killed while the request runs
    Given a local deployment
    And the service takes 1500 ms
    When a request with an Idempotency-Key is sent to entry 0, which is killed after 500 ms
    And the same request is sent to entry 1
    Then it is answered with status 409 and outcome "unknown"
    And after 2 seconds the service executed the request 1 time(s)

  Scenario: A model stream breaks
    Given the shared local deployment
    And every engine breaks its next stream after 3 tokens
    When a stream of 8 tokens with an Idempotency-Key is requested from entry 0
    Then the stream ends with an error event
    And the engines executed the request 1 time(s)

  Scenario: The engines are frozen while a request runs
    Given the shared local deployment
    And every engine is frozen
    When a non-streaming request with an Idempotency-Key is sent to entry 0 with 2 seconds to its deadline
    Then it is answered with status 502 and outcome "unknown"
    When every engine is unfrozen
    Then the engines executed the request at most 1 time(s)

  Scenario: Engines that are leaving refuse requests before they run
    Given a local deployment
    And every engine refuses requests because it is leaving
    When a non-streaming request with an Idempotency-Key is sent to entry 0 with 2 seconds to its deadline
    Then it is answered with status 503 and outcome "not_run"
    And the engines executed the request 0 time(s)
