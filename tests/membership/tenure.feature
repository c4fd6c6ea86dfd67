Feature: One VM at a time gives orders to engines

  Scenario: Holders are killed, partitioned, suspended and elected again
    Given a store that elects holders over leases and may remove the holder key at any moment
    Then in every history no VM sends orders after another one began, and none alternates with another one within the re-election delay

  Scenario: The holder goes on while no VM reaches the store
    Given 7 other VMs in 3 zones
    Then a holder goes on when all of them report a silent store
    And a holder goes on when 4 of them report it and 3 report nothing
    And a holder stops when only 3 of them report it
    And a holder stops when one of them reaches the store
    And a holder stops when the reports are too old
    And a holder stops when only VMs of its own zone report it, even if they are a majority
