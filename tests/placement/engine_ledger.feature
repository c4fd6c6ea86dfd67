Feature: Orders to an engine don't wait for its lagging reports

  Scenario: A load follows at once after the unload that frees its memory
    Given an engine that accepted an unload to free memory for a load
    Then the next order may be sent after at most 60 ms
    And an order that it refuses in the meantime is retried after at most 60 ms
    And after at most 1 second of refusals its report is read

  Scenario: The end of a load is seen without a report
    Given an engine that accepted a load of 2 seconds
    Then the load is ordered again after 2 seconds
    When the engine answers that it holds the model
    Then the next order may be sent at once

  Scenario: A load that is late is still reported as under way
    Given an engine that accepted a load of 2 seconds
    Then the model is expected in 2000 ms
    And when it is 100 ms late, it is expected in 50 ms, the retry interval
    When the engine answers that it holds the model
    Then no load is expected

  Scenario: An order without an answer releases the memory reserved for it
    Given an engine that accepted an unload to free memory for a load
    When the load that follows gets no answer
    Then no load is expected
    And its report is read and the unanswered order is recorded

  Scenario: Freed memory that is not used in time is released after a report
    Given an engine that accepted an unload to free memory for a load
    When its load is not ordered for 7 seconds, longer than a reservation
    Then no load is expected
    And nothing is ordered before its report is read
