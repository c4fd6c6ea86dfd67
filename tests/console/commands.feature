Feature: Command line

  Scenario: Every error in a settings file is reported with its line and remedy
    Given a settings file with an unknown key, a missing key and a port out of range
    When the file is checked
    Then the command ends with status 2
    And the output for line 3 asks "Did you mean 'caller_port'?"
    And the output names the missing key "vm_list_url"
    And the output for line 4 says "Use 65535 or less."

  Scenario: Comments are allowed, and syntax errors are reported with their line
    Given a settings file whose fourth line lacks a comma
    When the file is checked
    Then the command ends with status 2
    And the output for line 4 says "missing comma"

  Scenario: Operators read and write settings with the commands
    Given the shared local deployment
    When an operator puts a new document for team "grid" with the commands
    Then the history and the in-force state show the new revision
    And writing an invalid document is refused with the line of the error
