Feature: VMs lose their links to all upstreams, while callers, the store and the other VMs reach them

  Scenario Outline: Callers of VMs that are cut off from all upstreams
    Given 4 nodes, each with links of its own to the upstreams
    When <cut> of them are cut off from all upstreams for 10 seconds, <how>, while callers send requests
    Then from 3 seconds after the cut first tries there are served two thirds as often as at the others, or more
    And from 3 seconds after its end they are served as often as at the others
    And what may run once ran at most once, and not if its caller was told so
    And no node takes an engine for crashed

    Examples:
      | cut | how                                            |
      | 2   | when nothing passes                            |
      | 2   | when connections are reset and new ones closed |
      | 1   | when only new connections are closed           |
      | 3   | when connections are reset and new ones closed |

  Scenario: All VMs of a zone are cut off from all upstreams
    Given 4 nodes, each with links of its own to the upstreams
    When all nodes of zone east are cut off from all upstreams for 10 seconds while callers send requests
    Then from 3 seconds after the cut first tries there are served two thirds as often as at the others, or more
    And what may run once ran at most once, and not if its caller was told so
    And no node takes an engine for crashed

  Scenario Outline: A VM that answers for one that is cut off fails meanwhile
    Given 4 nodes, each with links of its own to the upstreams
    When 1 of them is cut off from all upstreams for 12 seconds, and after 5 another one <fails>
    Then from 3 seconds after the cut first tries there are served two thirds as often as at the others, or more
    And what may run once ran at most once, and not if its caller was told so

    Examples:
      | fails              |
      | is killed          |
      | is told to stop    |
      | is frozen for 3 s  |
      | is cut off as well |

  Scenario: Sound engines are silent for a second, to all VMs
    Given 4 nodes, each with links of its own to the upstreams
    When all links are silent for 1.3 seconds while callers send requests
    Then every request is served
    And no node counts an upstream as failed, crashed or cut off
