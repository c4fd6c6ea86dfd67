Feature: Short requests avoid engines with long streams, as their prefill interrupts these

  Scenario: A short request goes to an engine without long streams
    Given two equal engines, one of which runs 8 long streams
    Then 50 short requests go to the other one
    And of 50 long-running requests some go to each

  Scenario: A long queue outweighs the streams
    Given two equal engines, one of which runs 8 long streams
    And the other one has 4000 queued tokens
    Then 50 short requests go to the one with the streams
