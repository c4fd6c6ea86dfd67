Feature: Engines that turn work away and ask for a pause

  Scenario: Requests reach an engine in a pause that it has asked for
    Given 4 nodes and four engines that hold the same models
    When 12 callers send requests
    And engine "e1" turns work away for 7 seconds and asks for 3 s of rest
    And the callers stop
    Then at most 2 requests of a node reach the engine in a pause
    And all requests are answered by engines
