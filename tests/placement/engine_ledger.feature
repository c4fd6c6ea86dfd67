Feature: An engine's time is not spent waiting for its reports

  Scenario: The load follows at once when room was made
    Given an engine that accepted an unload that makes room
    Then the next order may be given 60 ms later
    And an order that it refuses meanwhile is tried again 60 ms later
    And after 1 second of refusals its report is read

  Scenario: The end of a load is seen without a report
    Given an engine that accepted a load of 2 seconds
    Then the load is ordered once more after 2 seconds
    When the engine answers that it holds the model
    Then the next order may be given at once

  Scenario: A load that is late is still told as coming
    Given an engine that accepted a load of 2 seconds
    Then callers are told that it comes in 2000 ms
    And 100 ms after its time they are told that it comes in 50 ms
    When the engine answers that it holds the model
    Then callers are told of no load

  Scenario: An order without an answer frees what was kept for it
    Given an engine that accepted an unload that makes room
    When the load that follows gets no answer
    Then callers are told of no load
    And its report is read and the engine is in doubt

  Scenario: Room that was not used in time is given up after a look
    Given an engine that accepted an unload that makes room
    When its load is not given for 7 seconds
    Then callers are told of no load
    And nothing is ordered before its report is read
