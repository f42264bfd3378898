//! Converts byte offsets to line numbers.

use std::ops::Range;

/// Offsets of the newlines in one file.
pub(super) struct LineIndex(Vec<usize>);

impl LineIndex {
    pub(super) fn of(text: &str) -> Self {
        let newlines = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        Self(newlines.map(|(offset, _)| offset).collect())
    }

    /// Returns the line number at which `span` starts; lines are counted from 1.
    pub(super) fn line(&self, span: &Range<usize>) -> u32 {
        let newlines_before = self.0.partition_point(|newline| *newline < span.start);
        u32::try_from(newlines_before).map_or(u32::MAX, |line| line.saturating_add(1))
    }
}
