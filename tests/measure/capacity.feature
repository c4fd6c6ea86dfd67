Feature: The cost of a node's peers does not grow with their number

  Scenario: The message rate of a node stays constant as its zone grows
    When zones of 20, 32 and 48 nodes exchange digests
    Then a node sends at most 18 messages a second in each
    And in the zone of 20 nodes, a node without the lease sends and receives together at most 18 KB a second

  Scenario: Claims share store calls
    When entries with 20, 100 and 400 non-repeatable requests a second claim their keys
    Then each entry makes at most one store call per request, and one call at a time

  Scenario: Few store calls are made while nothing changes
    Then a watcher makes at most 2 calls a second and a lease holder at most 1
