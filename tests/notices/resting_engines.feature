Feature: Engines that turn work away and ask for a pause

  Scenario: Requests reach an engine in a pause that it has asked for
    Given 4 nodes and four engines that hold the same models
    When 12 callers send requests
    And engine "e1" turns work away for 7 seconds and asks for 3 s of rest
    And the callers stop
    Then at most 2 requests of a node reach the engine in a pause
    And all requests are answered by engines

  Scenario: All engines of a service want a pause
    Given 2 nodes and four engines that hold the same models
    When 6 callers send requests
    And all engines turn work away for 1 seconds and ask for 3 s of rest
    And the callers stop
    Then at most 2 requests of a node reach the engine in a pause
    And requests are refused at once meanwhile, with a time at which the engines take some again

  Scenario: A failure without a statement that the request did not run asks for a pause
    Given 2 nodes and four engines that hold the same models
    When 6 callers send requests
    And engine "e1" fails requests for 4 seconds and asks for 2 s of rest
    And the callers stop
    Then at most 2 requests of a node reach the engine in a pause
    And no node suspects the engine

  Scenario Outline: An engine asks for a pause with Retry-After "<value>"
    Then the pause takes <seconds> seconds

    Examples:
      | value                                              | seconds    |
      | 3                                                  | 3          |
      | 1.5                                                | 1.5        |
      | 0                                                  | 0          |
      | 99999999999999999999                               | 1000000000 |
      | Sat, 05 Dec 2026 10:00:10 GMT                      | 10         |
      | Sat, 05 Dec 2026 09:00:00 GMT                      | 0          |
      | 2 and 5                                            | 5          |
      | soon and 2                                         | 2          |

  Scenario Outline: An engine asks for a pause with Retry-After "<value>", which cannot be read
    Then the value is rejected with a typed error

    Examples:
      | value  |
      | -3     |
      | soon   |
      | 1e400  |
      | 3 s    |
      | ٣      |

  Scenario: A pause is prolonged, never shortened, and ends with an answer to a later request
    Then a second answer prolongs a pause of a run, a shorter one does not change it
    And an answer to a request from before the pause does not end it, one from after it does

  Scenario: Only an answer that belongs to the request says something of its engine
    Then an answer with another ID, or of another instance, begins no pause and no departure
