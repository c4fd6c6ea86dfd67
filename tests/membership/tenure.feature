Feature: One VM at a time sends orders to engines

  Scenario: Holders are killed, partitioned, suspended and elected again
    Given a store that elects order holders by leases and may remove the holder key at any moment
    Then no VM sends an order with an older token than an earlier order, and a VM that was replaced sends none for the re-election delay

  Scenario: The order holder keeps sending orders while no VM reaches the store
    Given 7 other VMs in 3 zones
    Then an order holder keeps sending orders when all of them report a silent store
    And an order holder keeps sending orders when 4 of them report a silent store and 3 report nothing
    And an order holder stops when only 3 of them report a silent store
    And an order holder stops when one of them reaches the store
    And an order holder stops when the reports are too old
    And an order holder stops when only VMs of its own zone report a silent store, even a majority
