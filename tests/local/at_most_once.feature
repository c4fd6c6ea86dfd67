Feature: A non-repeatable request runs at most once, and "not run" is reported only if it did not run

  Scenario: The answer is lost after the request ran
    Given the shared local deployment
    And the service loses its next answer
    When a non-repeatable request is sent to entry 0
    Then it is answered with status 502 and outcome "unknown"
    When the same request is sent to entry 1
    Then it is answered with status 409 and outcome "unknown"
    And the service ran it 1 times

  Scenario: The same key at two entries at the same time
    Given the shared local deployment
    And the service takes 300 ms
    When a non-repeatable request is sent to both entries at once
    Then one of them has the answer and the other is refused or has the same answer
    And the service ran it 1 times

  Scenario: An answered request is retried at another entry
    Given the shared local deployment
    When a non-repeatable request is sent to entry 0
    Then it is answered with status 200
    When the same request is sent to entry 1
    Then it is answered with status 200
    And the answer is the first one, marked as replayed
    And the service ran it 1 times

  Scenario: The same key with another body
    Given the shared local deployment
    When a non-repeatable request is sent to entry 0
    And another body is sent with the same key to entry 1
    Then it is answered with status 422 and outcome "not_run"

  Scenario: The store is down
    Given the shared local deployment
    And the store is down
    When a non-repeatable request is sent to entry 0
    Then it is answered with status 503 and outcome "not_run"
    And it says when to retry
    And the service ran it 0 times
    And requests without a key are served

  Scenario: The store loses the answer to the claim
    Given the shared local deployment
    And the store loses its next answer
    When a non-repeatable request is sent to entry 0
    Then it is answered with status 200
    And the service ran it 1 times

  Scenario: The entry is killed while the request runs
    Given a local deployment
    And the service takes 1500 ms
    When a non-repeatable request is sent to entry 0, which is killed after 500 ms
    And the same request is sent to entry 1
    Then it is answered with status 409 and outcome "unknown"
    And after 2 seconds the service ran it 1 times

  Scenario: A model stream breaks
    Given the shared local deployment
    And every engine breaks its next stream after 3 tokens
    When a non-repeatable stream of 8 tokens is requested from entry 0
    Then the stream ends with an error event
    And the engines ran it 1 times

  Scenario: An engine stops responding
    Given the shared local deployment
    And every engine is frozen
    When a non-repeatable request without streaming is sent to entry 0 with 2 seconds to its deadline
    Then it is answered with status 502 and outcome "unknown"
    When every engine is unfrozen
    Then the engines ran it at most 1 times

  Scenario: Engines that are leaving refuse requests before they run
    Given a local deployment
    And every engine refuses requests because it is leaving
    When a non-repeatable request without streaming is sent to entry 0 with 2 seconds to its deadline
    Then it is answered with status 503 and outcome "not_run"
    And the engines ran it at most 0 times
