//! Formats times, tables and edits for people.

use heatherknot_settings::Edit;
use serde_json::Value as Json;

const SECONDS_PER_DAY: u64 = 86_400;
/// Longer JSON values are truncated to this many characters.
const MAX_VALUE_CHARS: usize = 80;

/// Formats a Unix time in milliseconds as date and time in UTC.
pub fn utc_time(ms: u64) -> String {
    let seconds = ms / 1000;
    let (days, rest) = (seconds / SECONDS_PER_DAY, seconds % SECONDS_PER_DAY);
    let (year, month, day) = civil_date(days);
    let (hour, minute, second) = (rest / 3600, rest / 60 % 60, rest % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}Z")
}

/// Converts a number of days since 1970-01-01 to year, month and day.
fn civil_date(days: u64) -> (u64, u64, u64) {
    // Counts from 1 March of year 0, which is 719468 days before 1970, so that a leap day is the
    // last day of its year. A cycle of 400 years has 146097 days.
    let days = days + 719_468;
    let (cycle, day) = (days / 146_097, days % 146_097);
    let year = (day - day / 1460 + day / 36_524 - day / 146_096) / 365;
    let day_of_year = day - (365 * year + year / 4 - year / 100);
    let shifted = (5 * day_of_year + 2) / 153;
    let day_of_month = day_of_year - (153 * shifted + 2) / 5 + 1;
    let month = if shifted < 10 {
        shifted + 3
    } else {
        shifted - 9
    };
    let year = 400 * cycle + year + u64::from(month <= 2);
    (year, month, day_of_month)
}

/// Formats a duration given in milliseconds.
pub fn duration(ms: u64) -> String {
    match ms {
        0..1_000 => format!("{ms} ms"),
        1_000..120_000 => format!("{}.{} s", ms / 1000, ms % 1000 / 100),
        120_000..7_200_000 => format!("{} min", ms / 60_000),
        _ => format!("{} h", ms / 3_600_000),
    }
}

/// Formats edits, one per line.
pub fn edits(edits: &[Edit]) -> String {
    edits.iter().map(format_edit).collect()
}

fn format_edit(edit: &Edit) -> String {
    let path = &edit.path;
    if edit.dropped.is_some() {
        return format!("  ~ {path}: values no longer kept\n");
    }
    match (&edit.before, &edit.after) {
        (Some(before), Some(after)) => {
            format!(
                "  ~ {path}: {} -> {}\n",
                truncated_json(before),
                truncated_json(after)
            )
        }
        (None, Some(after)) => format!("  + {path}: {}\n", truncated_json(after)),
        (Some(before), None) => format!("  - {path}: {}\n", truncated_json(before)),
        (None, None) => format!("  ~ {path}\n"),
    }
}

fn truncated_json(json: &Json) -> String {
    let text = json.to_string();
    if text.chars().count() <= MAX_VALUE_CHARS {
        return text;
    }
    let start: String = text.chars().take(MAX_VALUE_CHARS).collect();
    format!("{start}...")
}

/// Formats rows as a table whose columns are as wide as their longest cell.
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut lines: Vec<Vec<String>> = vec![head.iter().map(|cell| cell.to_string()).collect()];
    lines.extend(rows.iter().cloned());
    let width = |column: usize| {
        let cells = lines.iter().filter_map(|line| line.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let mut text = String::new();
    for line in &lines {
        let cells = line.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}
