Feature: An update reaches all VMs, in a large fleet with one datagram to each other zone

  Scenario Outline: Every VM receives the update once
    Given <vms> VMs in <zones> zones
    When one of them broadcasts an update twice
    Then each broadcast sends <datagrams> datagrams to other zones
    And every other VM receives each update once

    Examples:
      | vms | zones | datagrams |
      | 8   | 3     | 5         |
      | 24  | 4     | 3         |
      | 65  | 3     | 2         |
      | 20  | 1     | 0         |

  Scenario: The second broadcast takes other forwarders
    Given 24 VMs in 3 zones
    When one of them broadcasts an update twice
    Then no VM forwards both updates
    And the sender sends one datagram to each zone
