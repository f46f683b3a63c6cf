Feature: Operators
  An operator changes the configuration and reads the state from the command line.

  Scenario: A change is tried, accepted, rolled out and found in the history
    Given 2 entry in zone north with 1 upstreams in pool desk
    And class quotes of pool desk answers within 2000 ms
    When an operator runs "target quotes --answer-within-ms 900 --dry-run"
    Then the command ends with code 0 and prints "classes.quotes.target_ms: 2000 -> 900"
    When an operator runs "target quotes --answer-within-ms 900 --reason season --wait 10"
    Then the command ends with code 0 and prints "in force on all 2 processes"
    When an operator runs "history --limit 1"
    Then the command ends with code 0 and prints "amma  (season)"
    When an operator runs "show --at 1"
    Then the command ends with code 0 and prints ""target_ms": 2000"
    When an operator runs "target bookings --answer-within-ms 900"
    Then the command ends with code 4 and prints "there is no class 'bookings'"

  Scenario: A status names the entry that does not answer
    Given 2 entry in zone north with 1 upstreams in pool desk
    And class quotes of pool desk answers within 2000 ms
    When an operator runs "status"
    Then the command ends with code 0 and prints "2 processes"
    When entry 2 is killed
    And an operator runs "status"
    Then the command ends with code 0 and prints "NO ANSWER from north-1"
    When an operator runs "report --output /dev/null"
    Then the command ends with code 0 and prints "wrote /dev/null"
    When an operator runs "dump"
    Then the command ends with code 0 and prints ""token_file": "(redacted)""
