Feature: Every declared model stays reachable

  Scenario: Zones place everything that memory allows and then rest
    Given zones whose memory is at least twice what is declared
    Then in every case all items become reachable, no order is given after that, and none is refused by the ledger

  Scenario: A version change keeps a version reachable at every step
    Given zones whose memory is at least twice what is declared
    Then in every case a new version of every model replaces the old one without a gap

  Scenario: A lost engine's items become reachable again
    Given zones whose memory is at least twice what is declared
    Then in every case all items become reachable again after an engine is lost

  Scenario: Zones that see each other's replicas never give up the last one together
    Given zones whose memory is at least twice what is declared
    Then in every case surges of demand leave every item with a holder

  Scenario: Memory is short, and higher priority keeps its place
    Given one zone with memory for one of two models
    Then the model of higher priority is resident and the other is reported out of reach
