//! Parses the Prometheus text format that nodes export.

/// One sample of a metric.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample<'a> {
    /// Labels as exported, without the braces.
    pub labels: &'a str,
    /// Value of the sample.
    pub value: f64,
}

/// All samples of the metric `name` in `text`.
pub fn samples<'a>(text: &'a str, name: &'a str) -> impl Iterator<Item = Sample<'a>> {
    text.lines().filter_map(move |line| {
        let rest = line.strip_prefix(name)?;
        let (labels, value) = match rest.strip_prefix('{') {
            Some(rest) => rest.split_once('}')?,
            None => ("", rest),
        };
        // Skip metrics whose name only starts with `name`.
        if !value.starts_with(' ') {
            return None;
        }
        Some(Sample { labels, value: value.split_whitespace().next()?.parse().ok()? })
    })
}

/// Sum of all samples of a metric.
pub fn sum(text: &str, name: &str) -> f64 {
    samples(text, name).map(|sample| sample.value).sum()
}
