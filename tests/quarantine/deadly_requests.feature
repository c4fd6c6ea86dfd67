Feature: A request crashes each upstream that begins to run it

  Scenario Outline: One request crashes upstream after upstream
    Given 4 nodes and 4 instances of a plain service, and 4 engines that hold one model
    When 40 sound requests come each second for 16 seconds, and each 0.7 s one <request> that is deadly
    Then at most 3 sends of it reach upstreams later than 3 seconds after it has crashed the third
    And from 6 seconds after its third crash sound requests are served half as often as before or more
    And callers of it are never told that it did not run when it did

    Examples:
      | request                   |
      | GET that may be repeated  |
      | POST that may run once    |
      | POST sent in large chunks |
      | stream with a prompt      |

  Scenario Outline: VMs find deadly requests together while datagrams are lost
    Given <vms> simulated VMs and <engines> engines, and datagrams of which 3 % are lost
    When <requests> deadly <kind> requests come for <seconds> seconds, in <seeds> runs
    Then at most 3 sends of each reach engines later than 3 seconds after it has crashed the third, and no VM convicts anything else
    And at most 1 % of the sound requests are not admitted

    Examples:
      | vms | engines | requests | kind       | seconds | seeds |
      | 2   | 4       | 1        | idempotent | 8       | 3     |
      | 2   | 4       | 1        | once       | 8       | 2     |
      | 2   | 4       | 1        | stream     | 8       | 2     |
      | 8   | 9       | 1        | idempotent | 8       | 3     |
      | 8   | 9       | 1        | once       | 8       | 2     |
      | 8   | 9       | 1        | stream     | 8       | 2     |
      | 8   | 9       | 3        | idempotent | 8       | 2     |
      | 63  | 70      | 1        | idempotent | 5       | 1     |
      | 63  | 70      | 1        | once       | 5       | 1     |
      | 63  | 70      | 1        | stream     | 5       | 1     |

  Scenario: A crash is taken back for an answer of the engine's next start
    Given 2 VMs and an engine that crashed, whose next start answers before its entry shows it
    Then all VMs still suspect the parts of the request that was there

  Scenario Outline: Callers repeat sound requests while engines crash for another cause
    Given <vms> simulated VMs and <engines> engines, and datagrams of which 3 % are lost
    When engines crash for another cause while callers repeat sound requests for <seconds> seconds, in <seeds> runs
    Then at most 1 % of the sound requests are not admitted

    Examples:
      | vms | engines | seconds | seeds |
      | 2   | 4       | 10      | 3     |
      | 8   | 9       | 10      | 3     |
