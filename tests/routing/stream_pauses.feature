Feature: Prompts keep away from long streams where they can

  Scenario: A short request goes where no long stream runs
    Given two engines alike but that one of them carries 8 long streams
    Then 50 short requests go to the other one
    And of 50 requests that last long some go to each

  Scenario: A queue outweighs the streams
    Given two engines alike but that one of them carries 8 long streams
    And the other one has 4000 tokens to read
    Then 50 short requests go to the one with the streams
