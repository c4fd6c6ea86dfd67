Feature: One VM at a time gives orders to engines

  Scenario: Holders that are killed, cut off, frozen and elected again
    Given a store that elects holders over leases and takes keys away at any moment
    Then in every history no VM orders after another one began, and none takes turns within the lease time

  Scenario: An outage of the store for all keeps the holder
    Given 7 other VMs in 3 zones
    Then a holder goes on when all say that the store is silent
    And a holder goes on when 4 of them say so and 3 are not heard
    And a holder stops when only 3 of them are heard
    And a holder stops when one of them reaches the store
    And a holder stops when the words are old
    And a holder stops when only VMs of its own zone are heard, however many
