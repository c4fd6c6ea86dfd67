Feature: Accelerator memory is never overcommitted

  Scenario: Lost, late and duplicated orders, engine restarts, paused and concurrent lease holders
    Given engines of which some check fencing tokens and some ignore them
    Then no sequence of orders, reports, restarts and pauses overcommits an engine

  Scenario: The memory of an order with an unknown outcome stays counted
    Given an engine of 1000 MiB with a load of 700 MiB that was not acknowledged
    Then a load of 400 MiB is refused by the ledger
    When a report taken after the last possible arrival shows the engine empty
    Then a load of 400 MiB is accepted by the ledger

  Scenario: A resident item that no order loaded is counted
    Given an engine of 1000 MiB whose report shows an unknown item of 800 MiB
    Then a load of 400 MiB is refused by the ledger

  Scenario: The weight store's limits hold over all zones together
    Given four zones that share a weight store of 2.5 loads a second and 3 at once
    Then no sequence of takes and releases exceeds 3 at once or 2.5 a second in the long run

  Scenario: A late copy of a settled order arrives after its item was unloaded
    Given an engine that ignores fencing tokens and two lease holders
    When a load of "a/y@1" arrives and a delayed copy stays in the network
    And the first holder applies a new report
    And the first holder unloads "a/y@1" if the ledger allows it
    And the first holder applies a new report
    And the first holder loads "b/x@1" if the ledger allows it
    And the copy arrives
    Then the engine does not exceed its memory

  Scenario: A report older than one already applied changes nothing
    Given an engine that ignores fencing tokens and two lease holders
    When the first holder applies a new report
    And the first holder loads "a/y@1" if the ledger allows it
    And no earlier order can arrive any more
    And the first holder applies a new report
    And the first holder applies an old report
    And the first holder loads "b/x@1" if the ledger allows it
    Then the engine does not exceed its memory

  Scenario: A paused lease holder resumes and sends an outdated order
    Given an engine that ignores fencing tokens and two lease holders
    When the first holder records a load of "a/y@1" and is paused before it sends it
    And another holder loads "b/x@1" if the ledger allows it
    And the first holder resumes and its order arrives
    Then the engine does not exceed its memory
