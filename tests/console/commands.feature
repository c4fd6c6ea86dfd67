Feature: Command line

  Scenario: Every mistake in a settings file is named with its line and remedy
    Given a settings file with an unknown key, a missing key and a port out of range
    When it is checked
    Then the command ends with status 2
    And it names line 3 and asks "Did you mean 'caller_port'?"
    And it names the missing key "vm_list_url"
    And it names line 4 and says "Use 65535 or less."

  Scenario: Comments are allowed and syntax errors have a line
    Given a settings file whose fourth line lacks a comma
    When it is checked
    Then the command ends with status 2
    And it names line 4 and asks "missing comma"

  Scenario: Operators read and write settings through the commands
    Given the shared local deployment
    When an operator puts a new document for team "grid" with the commands
    Then the history and the state of being in force show the new revision
    And a put with a mistake is refused with its line
