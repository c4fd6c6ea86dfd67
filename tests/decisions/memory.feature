Feature: Accelerator memory is never overcommitted

  Scenario: Orders lost, late and doubled, engines restarted, holders paused and doubled
    Given engines of which some check fences and some ignore them
    Then no history of orders, reports, restarts and holders overcommits an engine

  Scenario: An order whose outcome is not known keeps its memory
    Given an engine of 1000 MiB with a load of 700 MiB that was not acknowledged
    Then a load of 400 MiB is refused by the ledger
    When a report taken after the last possible arrival shows the engine empty
    Then a load of 400 MiB is accepted by the ledger

  Scenario: A load that nobody asked for is counted
    Given an engine of 1000 MiB whose report shows an unknown item of 800 MiB
    Then a load of 400 MiB is refused by the ledger

  Scenario: The weight store's limits hold over all zones together
    Given four zones that share a weight store of 2.5 loads a second and 3 at once
    Then no history of takes and releases exceeds 3 at once or 2.5 a second in the long run

  Scenario: A late copy of a settled order arrives after its item was unloaded
    Given an engine that ignores fences and one holder
    When a load of "a/y@1" arrives and a copy of it stays in the network
    And the holder takes in a new report
    And the holder unloads "a/y@1" if the ledger lets it
    And the holder takes in a new report
    And the holder loads "b/x@1" if the ledger lets it
    And the copy arrives
    Then the engine is within its memory

  Scenario: A report that was overtaken by a newer one changes nothing
    Given an engine that ignores fences and one holder
    When the holder takes in a new report
    And the holder loads "a/y@1" if the ledger lets it
    And all orders have long arrived
    And the holder takes in a new report
    And the holder takes in an old report
    And the holder loads "b/x@1" if the ledger lets it
    Then the engine is within its memory

  Scenario: A paused holder wakes with its order still in hand
    Given an engine that ignores fences and one holder
    When the holder records a load of "a/y@1" and is paused before it sends it
    And another holder loads "b/x@1" if the ledger lets it
    And the first holder wakes and its order arrives
    Then the engine is within its memory
