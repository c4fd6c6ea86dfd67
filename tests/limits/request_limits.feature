Feature: Requests stay within the limits that upstreams name

  # Each VM sent as before once an engine had named a limit for all VMs together.
  Scenario: An engine gets more requests than the limit that it named
    Given 8 nodes, and an engine that names a limit of 1.2 requests a second
    When callers send 16 requests a second for its model through all nodes for 12 seconds
    Then in any 4 seconds the engine gets at most 1.5 times its limit and 5 requests
    And it gets at least 0.8 times its limit
    And the dump, the metrics, the report and the log of a request tell the limit

  # Equal shares of a small limit are less than a request in a window, and one busy VM gets an eighth.
  Scenario Outline: A limited engine gets close to its limit, however many VMs send
    Given <vms> VMs and an engine that names a limit of <limit> requests a second
    When callers send 10 times the limit through <senders> for 20 seconds
    Then every 4 seconds hold at most 1.5 times the limit and 5 requests
    And the engine gets at least 0.8 times its limit

    Examples:
      | vms | limit | senders |
      | 8   | 1.2   | all VMs |
      | 8   | 1.2   | one VM  |
      | 8   | 20    | all VMs |
      | 63  | 1     | all VMs |
      | 63  | 1     | one VM  |
      | 63  | 0.5   | all VMs |

  Scenario Outline: VMs that freeze, restart or are cut off keep limits that change
    Given <vms> VMs, <earlier> of an earlier version, and an engine whose limit changes
    When VMs freeze, restart and are cut off at random while callers send, with seeds 1 to <seeds>
    Then every 4 seconds hold at most 1.5 times the limit and 5 requests of VMs that know limits

    Examples:
      | vms | earlier | seeds |
      | 8   | 0       | 6     |
      | 8   | 4       | 3     |
      | 30  | 0       | 1     |

  Scenario: A VM that was frozen does not use a permit that ended meanwhile
    Given 2 VMs and an engine that names a limit of 4 requests a second
    When a VM is frozen for 3 seconds between the choice of the engine and the send
    Then the request is not sent with the old permit

  Scenario: A request is not sent with a permit that ended while its connection opened
    Given 2 VMs and an engine that names a limit of 4 requests a second
    When the connection for a request with a permit opens 2 seconds late
    Then nothing is written to the connection

  Scenario: Other VMs know a limit before each has been told by its own answer
    Given 63 VMs and an engine that names a limit of 1 requests a second
    When one VM gets an answer with the limit
    Then 0.1 seconds later at least 60 VMs know it

  Scenario: A lifted limit ends, also for a VM that got no answer since
    Given 8 VMs and an engine that names a limit of 1 requests a second
    When callers send 10 times the limit through all VMs for 5 seconds
    And the engine names no limit while callers send for 8 seconds
    Then no VM knows a limit

  Scenario Outline: Values of the header
    Given 2 VMs and an engine that names a limit of 3 requests a second
    When one VM gets an answer with the limit
    And it gets an answer with the limit "<value>"
    Then requests are sent at <rate> a second

    Examples:
      | value                | rate  |
      | 2.5                  | 2.5   |
      | 0                    | 0.25  |
      | -1                   | 3     |
      | many                 | 3     |
      | nan                  | 3     |
      | 1e3                  | 3     |
      | 99999999999          | 1e11  |
      | 99999999999999999999 | 3     |

  Scenario: A limit that only some answers name stays in force
    Given 8 VMs and an engine that names a limit of 2 requests a second in every third answer
    When callers send 10 times the limit through all VMs for 20 seconds
    Then every 4 seconds hold at most 1.5 times the limit and 5 requests
    And every VM knows the limit

  Scenario: Urgent requests come first where a limit binds
    Given 8 VMs and an engine that names a limit of 4 requests a second
    When callers send 10 times the limit through all VMs for 20 seconds, a tenth of them urgent
    Then at least 0.8 of the urgent requests are sent

  Scenario: Refused callers are told times at which their requests can be sent one after the other
    Given 2 VMs and an engine that names a limit of 2 requests a second
    When callers send 10 times the limit through one VM for 2 seconds
    Then the times at which refused callers should return are at least 0.4 seconds apart

  Scenario: The times at which all VMs tell refused callers to return add up to the limit
    Given 8 VMs and an engine that names a limit of 2 requests a second
    When callers send 10 times the limit through all VMs for 6 seconds
    Then of the callers refused in the last 3 seconds at most 1.5 times the limit return in any 4 seconds

  Scenario: Nothing is sent between VMs while no upstream names a limit
    Given 8 VMs and an engine that names no limit
    When callers send 10 requests a second through all VMs for 5 seconds
    Then VMs sent each other no datagrams, and the engine got every request

  Scenario: Earlier versions of the node ignore messages on limits
    Given a message of each kind on request limits
    Then an earlier version reads none of them, and still reads its own
