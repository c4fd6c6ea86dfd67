Feature: Entries and messages of other writers that cannot be used

  Scenario Outline: An entry turns odd: <how>
    Given a VM that uses an engine by its entry
    When its entry is replaced by one that has <how>
    Then no engine is usable, nothing was raised, and the next proper entry is used again

    Examples:
      | how                            |
      | 20000 nested lists             |
      | a port of 5000 digits          |
      | a port of superscript digits   |
      | port 99999                     |
      | port 0                         |
      | an IPv6 address                |
      | a host name                    |
      | a host of 70000 characters     |
      | slots of 400 digits            |
      | slots of 5000 digits           |
      | negative slots                 |
      | a start before time            |
      | a start of 30 digits           |
      | a nested version               |
      | bytes that are no text         |
      | a model name of 10000 letters  |
      | no state                       |
      | an unknown state               |

  Scenario: An entry under a name that no header can hold
    Then engines with a line break, a space or other letters in their names are not used

  Scenario: Any bytes as an entry, a report, a configuration, a record or a datagram
    Then no reader raises anything but a typed error, and what it accepts can be sent on

  Scenario: An upstream names its load in numbers of thousands of digits after it has run a request
    Given the node deployment
    When the plain service names its load in 5000 digits
    Then a request that may run once is answered, or its answer does not say that it did not run
