Feature: The logs of a day tell what happened

  Scenario: A request's story is told across attempts and machines
    Given logs of two VMs in which a request was queued, sent twice and answered
    When its story is asked for
    Then the command ends with status 0
    And its lines come in order of time, from the configuration in force to the answer
    And the orders of its model are told, those of other models are not

  Scenario: A request that no log knows
    Given logs of two VMs in which a request was queued, sent twice and answered
    When the story of an unknown request is asked for
    Then the command ends with status 1

  Scenario: What a day looked like, as text and as images
    Given logs of two VMs in which a request was queued, sent twice and answered
    When a report with an SVG and one with a PNG are asked for
    Then both images are written
    And the report counts 1 answered, 1 refused and 1 load
    And it names the reason of the refusal and the lines left out

  Scenario Outline: Input of a report that can't be used
    Given logs of two VMs in which a request was queued, sent twice and answered
    When a report is asked for with <input>
    Then the command ends with status <status>

    Examples:
      | input              | status |
      | a missing file     | 2      |
      | an image name .gif | 2      |
      | a file of no lines | 1      |

  Scenario: Every event that the code logs is in the schema, with its fields
    Given the calls of the log in the source
    Then each names a kind of the schema and only fields of that kind
    And every kind of the schema is logged somewhere
    And the generated table and page are those of the schema
