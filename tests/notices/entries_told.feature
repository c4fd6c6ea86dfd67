Feature: The first VM that reads in the store that an upstream leaves tells the others

  # Guards against VMs that go on sending requests to an upstream of which another VM has read that it
  # leaves, since they read the store later or do not hear it (DRAIN on cofnod-llanelwy-grown).
  Scenario Outline: One VM reads that an upstream <how>, and the others read nothing
    Given <vms> VMs that know 9 upstreams, and datagrams of which 2 % are lost
    When one VM reads that an upstream <how>
    Then within 1.5 seconds no VM uses it
    And within 0.1 seconds 9 of 10 VMs did not
    And at most <reporters> VMs have sent reports of it

    Examples:
      | vms | how             | reporters |
      | 4   | is draining     | 1         |
      | 4   | has no entry    | 1         |
      | 73  | is draining     | 1         |
      | 73  | has no entry    | 1         |
      | 195 | is draining     | 1         |

  # Guards against upstreams that are avoided for good because of what another VM read once.
  Scenario Outline: An upstream of which another VM has read that it left <turn>
    Given 4 VMs that know 9 upstreams, and datagrams of which 0 % are lost
    When one VM reads that an upstream has no entry
    And <turn>
    Then <result>

    Examples:
      | turn                                         | result                        |
      | the same VM reads its entry again            | all VMs use it                |
      | another VM reads an entry of before          | that VM does not use it       |
      | another VM reads a later entry               | that VM uses it               |
      | another VM reads the entry of its next start | that VM uses it               |
      | another VM reads an entry in the next era    | that VM uses it               |
      | 11 s later another VM reads an older entry   | that VM uses it               |
      | the same VM reads that all others have none  | all VMs but that one use them |

  # Guards against the same in node processes, of which some do not hear the store for a while.
  Scenario: An upstream leaves while three of four nodes do not hear the store
    Given 4 nodes of which three do not hear the store
    When an upstream leaves by its entry, and requests come at all nodes for 6 seconds
    Then no request that was sent later than drainMs after the first node had read it reaches the upstream
    And all requests are answered
