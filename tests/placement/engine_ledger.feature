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
