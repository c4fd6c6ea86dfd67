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

  # Guards against a request that crashes one upstream after the other through a node that gets no new
  # connections, which finds no crash by itself (review/8).
  Scenario: One request crashes upstreams through a node that gets no new connections to any
    Given 3 nodes, each with links of its own to 10 instances of a plain service
    When node n1 gets no new connections to upstreams, while its open ones live on
    And 150 sound requests come each second for 14 seconds, and a POST that may run once that is deadly 3 times in 0.6 s, and each 1.3 s from 3.8 s on
    Then at most 3 sends of it reach upstreams later than 3 seconds after it has crashed the third
    And from 6 seconds after its third crash sound requests are served half as often as before or more
    And callers of it are never told that it did not run when it did

  # Guards against the same in larger fleets, with datagrams that are lost (review/8).
  Scenario Outline: VMs that get no new connections find deadly requests with the others
    Given <vms> simulated VMs and <engines> engines, and datagrams of which 3 % are lost
    When <cut> of the VMs get no new connections, and a deadly <kind> request comes there for <seconds> seconds, in <seeds> runs
    Then at most 3 sends of each reach engines later than 3 seconds after it has crashed the third, and no VM convicts anything else
    And at most 1 % of the sound requests are not admitted

    Examples:
      | vms | cut | engines | kind       | seconds | seeds |
      | 3   | 1   | 9       | once       | 8       | 3     |
      | 3   | 2   | 9       | idempotent | 8       | 3     |
      | 8   | 3   | 9       | once       | 8       | 3     |
      | 63  | 12  | 70      | once       | 5       | 1     |

  # Guards against sound requests that are suspected because the links of their VM were cut.
  Scenario Outline: Links that are cut make nobody suspect a request
    Given <vms> simulated VMs and <engines> engines, and datagrams of which 3 % are lost
    When all connections of <cut> of the VMs are reset each second and new ones refused, for 6 seconds, in 3 runs
    Then no VM suspects anything

    Examples:
      | vms | cut | engines |
      | 3   | 1   | 9       |
      | 3   | 3   | 9       |
      | 8   | 5   | 9       |

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
