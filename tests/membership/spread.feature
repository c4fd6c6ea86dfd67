Feature: A word for all VMs crosses zones once

  Scenario Outline: Every VM hears it, over one copy a zone
    Given <vms> VMs in <zones> zones
    When one of them spreads a word twice
    Then each copy crosses to another zone <crossings> times
    And every other VM hears each copy once

    Examples:
      | vms | zones | crossings |
      | 8   | 3     | 2         |
      | 6   | 4     | 3         |
      | 65  | 3     | 2         |
      | 5   | 1     | 0         |

  Scenario: The second copy goes over other VMs
    Given 9 VMs in 3 zones
    When one of them spreads a word twice
    Then no VM hands on both copies
