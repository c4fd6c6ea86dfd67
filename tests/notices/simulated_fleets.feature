Feature: Fleets of any size whose engines leave or ask for a pause

  Scenario Outline: An engine leaves in a fleet of <vms> VMs, <earlier> of an earlier version
    Given <vms> simulated VMs, <earlier> of an earlier version, and 4 engines
    When one engine leaves while VMs are frozen, restarted and read old entries
    Then no simulated request reaches it later than drainMs after its VM was told

    Examples:
      | vms | earlier |
      | 2   | 0       |
      | 2   | 1       |
      | 8   | 0       |
      | 8   | 4       |
      | 63  | 20      |
      | 195 | 0       |
      | 195 | 100     |

  Scenario Outline: An engine asks for a pause in a fleet of <vms> VMs and <engines> engines
    Given <vms> simulated VMs, 0 of an earlier version, and <engines> engines
    When one engine turns work away for 4 seconds and asks for 3 s of rest each time
    Then at most 1 request of a simulated VM reaches it in a pause
    And it gets requests again, at no more than three times the usual pace

    Examples:
      | vms | engines |
      | 2   | 4       |
      | 8   | 4       |
      | 63  | 4       |
      | 195 | 4       |
      | 2   | 1       |
      | 8   | 1       |
      | 63  | 1       |
      | 195 | 1       |

  Scenario Outline: The VMs of a fleet of <vms> do not all find out by themselves that an engine rests
    Given <vms> simulated VMs, 0 of an earlier version, and 4 engines
    When one engine turns work away for 4 seconds and asks for 3 s of rest each time
    Then VMs turn no more requests to it than 0.05 of theirs while it rests

    Examples:
      | vms |
      | 8   |
      | 195 |
