Feature: News for all VMs cross zones once in a large fleet

  Scenario Outline: Every VM hears them, over one copy a zone where VMs are many
    Given <vms> VMs in <zones> zones
    When one of them spreads a word twice
    Then each copy crosses to another zone <crossings> times
    And every other VM hears each copy once

    Examples:
      | vms | zones | crossings |
      | 8   | 3     | 5         |
      | 24  | 4     | 3         |
      | 65  | 3     | 2         |
      | 20  | 1     | 0         |

  Scenario: The second copy goes over other VMs
    Given 24 VMs in 3 zones
    When one of them spreads a word twice
    Then no VM hands on both copies
