Feature: Commands that read logs

  Scenario: The events of a request are collected across attempts and VMs
    Given logs of two VMs in which a request was queued, sent twice and answered
    When the log events of the request are printed
    Then the command ends with status 0
    And its events are in order of time, from the configuration in force to the answer
    And the orders for its model are printed, those for other models are not

  Scenario: A request that no log contains
    Given logs of two VMs in which a request was queued, sent twice and answered
    When the log events of an unknown request are printed
    Then the command ends with status 1

  Scenario: A log report as text and as images
    Given logs of two VMs in which a request was queued, sent twice and answered
    When reports with an SVG and with a PNG image are created
    Then both images are written
    And the report counts 1 answered, 1 refused and 1 load
    And the report names the reason for the refusal and the number of lines left out

  Scenario Outline: A report tells how far the placement of a model that was never served came
    Given logs in which requests for a model fail and <trail>
    When a report is created
    Then the report lists the model as "<stage>"

    Examples:
      | trail                                    | stage                                                  |
      | no other line names it                   | not counted in demand                                  |
      | plans leave it out                       | counted, not planned                                   |
      | the unload before its load is refused    | planned, order not sent, not accepted or not completed |
      | it is loaded and unloaded                | loaded, then unloaded before use                       |
      | it is loaded                             | loaded and not chosen                                  |
      | an engine held it and was overloaded     | loaded and not chosen                                  |
      | an attempt at an engine ends with NOT_RUN | chosen too late or without an answer                  |

  Scenario: Unplaced items of other models are left out of a request's events
    Given logs in which requests for a model fail and plans leave it out
    When the log events of its request are printed
    Then the plans that left it out are printed without the other items

  Scenario Outline: Invalid input for a report
    Given logs of two VMs in which a request was queued, sent twice and answered
    When a report is created with <input>
    Then the command ends with status <status>

    Examples:
      | input                 | status |
      | a missing file        | 2      |
      | an image name .gif    | 2      |
      | a file without events | 1      |

  Scenario: Every event that the code logs is in the schema, with its fields
    Given the log calls in the source
    Then each call names an event of the schema and only fields of that event
    And every event of the schema is logged by some call
    And the generated module and page match the schema
