Feature: VMs say which services they reach

  Scenario: All VMs of a zone of a large fleet are cut off
    Given 60 VMs in 5 zones, of which those of one zone reach no service
    When they send their reports for 2 seconds
    Then each VM of that zone has heard of VMs of other zones that reach the service
    And no VM sends more than 1000 bytes a second of them to other zones
