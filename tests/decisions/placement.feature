Feature: Every declared model stays reachable

  Scenario: Zones load every declared item and then send no more orders
    Given zones in which each engine has memory for all items twice
    Then in every case all items become reachable, no order follows, and none is refused by the ledger

  Scenario: A version change keeps a version reachable at every step
    Given zones in which each engine has memory for all items twice
    Then in every case a new version of every model replaces the old one without a gap

  Scenario: A lost engine's items become reachable again
    Given zones in which each engine has memory for all items twice
    Then in every case all items become reachable again after an engine is lost

  Scenario: Zones never unload the last replicas of an item at the same time
    Given zones in which each engine has memory for all items twice
    Then in every case every item keeps a holder in surges of demand with little free memory

  Scenario: If memory is short, the model of higher priority is loaded
    Given one zone with memory for one of two models
    Then the model of higher priority is resident and the other is reported as out of reach
