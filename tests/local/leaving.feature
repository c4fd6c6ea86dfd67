Feature: Upstreams and entries leave, and components fail

  Scenario: An engine says that it is leaving before the VM list shows it
    Given a local deployment
    And callers that stream continuously through both entries
    When one of the engines that serve them says that it is leaving
    Then 3 seconds later it gets no new requests
    And every stream was complete

  Scenario: The VM list says that an engine leaves
    Given a local deployment
    And callers that stream continuously through both entries
    When the VM list says that one of the engines that serve them is leaving
    Then 3 seconds later it gets no new requests
    And every stream was complete

  Scenario: An entry shuts down with streams open
    Given a local deployment
    When entry 0 is told to stop while 4 callers stream 300 tokens
    Then its readiness check fails at once
    And after 2 seconds it refuses new requests with outcome "not_run"
    And each caller has exactly its own complete answer
    And entry 0 exits by itself with code 0

  Scenario: Entry VMs are replaced one after another under load
    Given a local deployment
    And callers that stream continuously through both entries
    When each entry VM is stopped and started again, one after the other
    Then every stream was complete or refused with status 503

  Scenario: A control process is killed
    Given a local deployment
    When the control process of VM 0 is killed
    And 4 callers stream 10 tokens each from both entries
    Then each caller has exactly its own complete answer

  Scenario: The store is down for a while
    Given a local deployment
    When the store goes down
    And 8 seconds pass
    And 4 callers stream 10 tokens each from both entries
    Then each caller has exactly its own complete answer
    When the store is up again and a model of team "grid" is changed
    Then the change is in force at every entry within 11 seconds

  Scenario: The holder of a zone's lease is killed and another VM takes over
    Given a local deployment with two VMs in one zone
    When the control process that holds the lease is killed
    Then the other one holds it within 15 seconds, with a higher fencing token
    And a new model becomes reachable
    And no engine was overcommitted

  Scenario: A frozen lease holder resumes after another one took over
    Given a local deployment with two VMs in one zone
    When the control process that holds the lease is frozen for 12 seconds
    Then exactly one of them holds the lease
    And a new model becomes reachable
    And no engine was overcommitted

  Scenario: A zone is disconnected from the platform and its peers, and reconnected
    Given a local deployment whose VMs can be disconnected
    When VM 0 is disconnected for 8 seconds while a model of team "grid" is changed
    Then every request to VM 0 in that time was answered completely
    And the change is in force at every entry within 11 seconds
