Feature: Jobs survive the entries
  Accepted jobs are neither lost nor run twice while entries come and go.

  Scenario: All entries are replaced one after another, then all at once
    Given 2 entries in zone north with 2 workers in pool yard
    And 4 marked jobs that run and 2 that wait
    When every entry is replaced one after another
    And every entry is killed and replaced at once
    Then every job finishes and started once

  Scenario: A zone controller is paused past its lease and resumes
    Given 2 entries in zone north with 2 workers in pool yard
    And 4 marked jobs that run and 2 that wait
    When the zone controller is paused until the other entry took over
    Then every job finishes and started once
    And one entry schedules jobs

  Scenario: A marked request is retried at another entry after a silent connection
    Given 2 entries in zone north with 1 silent upstream in pool desk
    When a caller posts a marked request with key k1 to entry 0
    Then the caller hears upstream_timeout and outcome unknown
    When the upstream answers again
    And a caller posts a marked request with key k1 to entry 1
    Then the caller hears outcome_unknown and outcome unknown
    And the upstream received it once
    When a caller posts a marked request with key k2 to entry 0
    And a caller posts a marked request with key k2 to entry 1
    Then the caller receives the first answer
