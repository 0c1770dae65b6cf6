//! Tables in Markdown, with medians and ranges over seeds.

use std::fmt;

/// The median of some runs, and the least and greatest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MedianRange {
    /// The median.
    pub median: f64,
    /// The least.
    pub least: f64,
    /// The greatest.
    pub greatest: f64,
}

impl MedianRange {
    /// Of these values, of which there is at least one.
    pub fn new(mut values: Vec<f64>) -> MedianRange {
        values.sort_by(f64::total_cmp);
        let last = values.len() - 1;
        MedianRange {
            median: (values[last / 2] + values[last.div_ceil(2)]) / 2.0,
            least: values[0],
            greatest: values[last],
        }
    }
}

impl fmt::Display for MedianRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (median, least, greatest) = (self.median, self.least, self.greatest);
        write!(f, "{median:.1} ({least:.1}–{greatest:.1})")
    }
}

/// A table in Markdown.
#[derive(Clone, Debug, Default)]
pub struct TextTable {
    text: String,
}

impl TextTable {
    /// A table with this heading, note and column names.
    pub fn new(heading: &str, note: &str, columns: &[&str]) -> TextTable {
        let rule: Vec<&str> = columns.iter().map(|_| "---").collect();
        let text = format!(
            "\n## {heading}\n\n{note}\n\n| {} |\n|{}|\n",
            columns.join(" | "),
            rule.join("|")
        );
        TextTable { text }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: &[String]) {
        self.text.push_str(&format!("| {} |\n", cells.join(" | ")));
    }

    /// The whole table.
    pub fn finish(self) -> String {
        self.text
    }
}
