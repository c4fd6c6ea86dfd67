Feature: The promises hold under faults from outside

  Scenario Outline: A short soak with a fixed seed
    When a soak of 10 seconds runs with seed <seed>
    Then no promise was broken

    Examples:
      | seed |
      | 11   |

  Scenario: Broken promises are found
    Given what callers and upstreams saw of a calm minute
    Then no promise counts as broken
    And each of these counts as broken
      | what                                          |
      | an answer that belongs to another request     |
      | a request that may run once ran twice         |
      | a request that was answered 503 ran           |
      | an engine got a request 3 s after it drained  |
      | a request was cut at the stop of its node     |
      | a node went back to an older configuration    |
      | an engine was given more than fits            |
      | a node ended by itself                        |

  Scenario: The same seed draws the same faults
    Given the faults of seed 5 over 2 minutes
    Then the same seed draws them again, and they overlap and come in series
