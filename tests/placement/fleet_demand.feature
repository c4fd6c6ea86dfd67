Feature: The order holder knows the demand of all VMs from reports that list only what changed

  Scenario: Demand that is not reported again decays as it does at the VM
    Given a VM that reported 2 tokens a ms for a model, and a request that waits for it
    When its next report 1.5 s later does not list the model
    Then the demand is 0.74 tokens a ms and no request waits
    And a report of 1 token a ms makes it that of one VM

  Scenario: Every item that was ever requested is reported by turns
    Given a VM whose callers requested 30 models 20 s ago
    When it sends 4 demand reports
    Then the order holder has heard of all 30 models
    And no report lists more than 8 of them

  Scenario: A new order holder hears of all present demand at once
    Given a VM whose callers requested 30 models 3 s ago
    When the order holder changes and the VM sends a demand report
    Then the order holder has heard of all 30 models
