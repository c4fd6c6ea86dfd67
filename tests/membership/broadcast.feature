Feature: In a large fleet, an update for all VMs is sent to each other zone once

  Scenario Outline: Every VM receives the update, in a large fleet over one relay in each zone
    Given <vms> VMs in <zones> zones
    When one of them broadcasts an update twice
    Then each broadcast sends <crossings> datagrams to other zones
    And every other VM receives each update once

    Examples:
      | vms | zones | crossings |
      | 8   | 3     | 5         |
      | 24  | 4     | 3         |
      | 65  | 3     | 2         |
      | 20  | 1     | 0         |

  Scenario: The second broadcast takes other relays
    Given 24 VMs in 3 zones
    When one of them broadcasts an update twice
    Then no VM relays both updates
