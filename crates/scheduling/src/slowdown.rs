//! How long work takes at a back end at this moment, by its own word.

use std::time::{Duration, Instant};

use thiserror::Error;

/// Time for which a word counts. Spells of slowness last some hundreds of milliseconds, and a back end that gets no work tells nothing:
/// without an end, a word told in a spell would keep work away for ever.
const WORD_LIFETIME: Duration = Duration::from_millis(300);
/// A back end at its usual speed, in hundredths of the usual time.
const USUAL_PERCENT: u16 = 100;
/// Weight of one word in their mean: a spell has some tens of words and must not pass for the usual speed before it ends.
const WORD_WEIGHT: f64 = 0.01;
/// Smallest valid slowdown, in hundredths of the usual time.
const LEAST_PERCENT: u16 = 10;
/// Largest valid slowdown, in hundredths of the usual time.
const MOST_PERCENT: u16 = 10_000;

/// A figure that can't be how long work takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{percent} hundredths of the usual time is beyond {LEAST_PERCENT} to {MOST_PERCENT}")]
pub struct InvalidSlowdown {
    /// The figure told, in hundredths of the usual time.
    pub percent: u16,
}

#[derive(Debug, Clone, Copy)]
struct Word {
    /// Hundredths of the time that work took there on average when this was told.
    percent: u16,
    told_at: Instant,
}

/// The last word of a back end on how long work takes there, relative to its words before: what is learnt of its times holds their mean.
///
/// The last word counts in full: spells are as short as the time between a few words, so that any mean of them comes too late.
#[derive(Debug, Clone, Copy)]
pub struct Slowdown {
    word: Option<Word>,
    /// Mean of the words, in hundredths of the usual time.
    mean_percent: f64,
}

impl Default for Slowdown {
    fn default() -> Self {
        Self { word: None, mean_percent: f64::from(USUAL_PERCENT) }
    }
}

impl Slowdown {
    /// Takes in that work takes `percent` hundredths of the usual time there.
    ///
    /// # Errors
    /// Returns [`InvalidSlowdown`] if that is beyond any sense; the word before it still counts.
    pub fn on_word(&mut self, now: Instant, percent: u16) -> Result<(), InvalidSlowdown> {
        if !(LEAST_PERCENT..=MOST_PERCENT).contains(&percent) {
            return Err(InvalidSlowdown { percent });
        }
        let told = f64::from(percent);
        self.word = Some(Word { percent: relative_percent(told, self.mean_percent), told_at: now });
        self.mean_percent += (told - self.mean_percent) * WORD_WEIGHT;
        Ok(())
    }

    /// Hundredths of the time on average that work takes there now; absent without a word that still counts.
    #[must_use]
    pub fn percent(&self, now: Instant) -> Option<u16> {
        let word = self.word?;
        let age = now.saturating_duration_since(word.told_at);
        (age <= WORD_LIFETIME).then_some(word.percent)
    }

    /// Time that work takes there now as a multiple of that on average; 1 without a word that still counts.
    #[must_use]
    pub fn factor(&self, now: Instant) -> f64 {
        f64::from(self.percent(now).unwrap_or(USUAL_PERCENT)) / f64::from(USUAL_PERCENT)
    }

    /// Time that work which ends `now` and has taken `taken` would have taken at the speed on average.
    #[must_use]
    pub fn normalized_time(&self, now: Instant, taken: Duration) -> Duration {
        taken.div_f64(self.factor(now))
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn relative_percent(told: f64, mean: f64) -> u16 {
    let percent = (told / mean * f64::from(USUAL_PERCENT)).round();
    percent.clamp(f64::from(LEAST_PERCENT), f64::from(MOST_PERCENT)) as u16
}
