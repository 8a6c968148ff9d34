//! Findings: what is wrong in a text, and where.

use std::fmt;
use std::ops::Range;

/// One thing that is wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Name of the file, or of what stands for it.
    pub file: String,
    /// From 1.
    pub line: usize,
    /// From 1, in characters.
    pub column: usize,
    /// What is wrong, as a short phrase.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}:{}: {}",
            self.file, self.line, self.column, self.text
        )
    }
}

/// Everything that is wrong in one text.
#[derive(Debug, Clone)]
pub struct FindingList {
    file: String,
    source: String,
    /// In the order of their places once [`FindingList::finish`] ran.
    findings: Vec<Finding>,
}

impl FindingList {
    /// Creates an empty list for `source`, which `file` names.
    pub fn new(file: &str, source: &str) -> Self {
        FindingList {
            file: file.to_owned(),
            source: source.to_owned(),
            findings: Vec::new(),
        }
    }

    /// Adds a finding at a range of bytes of the source.
    pub fn add(&mut self, span: &Range<usize>, text: impl Into<String>) {
        let (line, column) = self.place(span.start);
        self.findings.push(Finding {
            file: self.file.clone(),
            line,
            column,
            text: text.into(),
        });
    }

    /// Returns `value` when nothing was found.
    ///
    /// # Errors
    /// Fails with all findings, in the order of their places.
    pub fn finish<T>(mut self, value: T) -> Result<T, Vec<Finding>> {
        if self.findings.is_empty() {
            return Ok(value);
        }
        self.findings
            .sort_by_key(|finding| (finding.line, finding.column));
        Err(self.findings)
    }

    fn place(&self, offset: usize) -> (usize, usize) {
        let offset = offset.min(self.source.len());
        let before = self.source.get(..offset).unwrap_or(&self.source);
        let line = before.matches('\n').count() + 1;
        let start = before.rfind('\n').map_or(0, |idx| idx + 1);
        (line, before[start..].chars().count() + 1)
    }
}
