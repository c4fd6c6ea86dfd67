Feature: What a node spends on its peers does not grow with their number

  Scenario: Messages a node sends stay constant as a zone grows
    When zones of 20, 32 and 48 nodes exchange digests
    Then a node sends at most 18 messages a second in each
    And a node that holds no lease sends and receives at most 18 KB a second at 20 nodes

  Scenario: Claims share calls
    When entries with 20, 100 and 400 non-repeatable requests a second claim their keys
    Then none makes more calls a second than the store's answer time allows

  Scenario: The store is asked rarely while nothing changes
    Then a watcher makes at most 2 calls a second and a lease holder at most 1
