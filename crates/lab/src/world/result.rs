//! What a run measured.

use bluebell_core::clock::{ClockTime, TimeSpan};
use hdrhistogram::Histogram;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The first token came in time and the caller got all that it stayed for.
    Served,
    /// The first token came in time, but the others too slowly to be read along.
    Slow,
    /// The caller left before the first token.
    Late,
    /// It was refused at once.
    Refused,
    /// It was lost on the way.
    Cut,
}

/// The counts of one organisation.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrganisationCount {
    /// Requests sent.
    pub offered: u64,
    /// Requests served in time.
    pub served: u64,
    /// Requests whose tokens came too slowly.
    pub slow: u64,
    /// Requests whose callers left before the first token.
    pub late: u64,
    /// Requests refused at once.
    pub refused: u64,
    /// Requests lost on the way.
    pub cut: u64,
}

impl OrganisationCount {
    /// The percent of its requests that were served.
    pub fn percent(&self) -> f64 {
        match self.offered {
            0 => 100.0,
            offered => self.served as f64 * 100.0 / offered as f64,
        }
    }
}

/// What a run measured.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// By organisation.
    pub organisations: Vec<OrganisationCount>,
    /// Milliseconds to the first token, of interactive requests that got one.
    pub first_token: Histogram<u64>,
    /// Requests offered and served in time, by the second of their arrival.
    pub seconds: Vec<SecondCount>,
    /// Changes of role.
    pub role_changes: u64,
    /// Requests sent to each engine, by second.
    pub sent: Vec<Vec<u32>>,
    /// Requests sent to preemptible engines.
    pub sent_preemptible: u64,
    /// Requests sent.
    pub sent_all: u64,
}

/// The counts of one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct SecondCount {
    /// Requests that arrived.
    pub offered: u64,
    /// Of those, requests that were served in time.
    pub served: u64,
}

impl RunResult {
    /// Nothing measured yet.
    pub fn new(organisations: usize, engines: usize, length: TimeSpan) -> RunResult {
        let seconds = length.as_secs_ceil() as usize + 1;
        RunResult {
            organisations: vec![OrganisationCount::default(); organisations],
            first_token: Histogram::new_with_bounds(1, 120_000, 3)
                .expect("the bounds are in order"),
            seconds: vec![SecondCount::default(); seconds],
            role_changes: 0,
            sent: vec![vec![0; seconds]; engines],
            sent_preemptible: 0,
            sent_all: 0,
        }
    }

    /// Counts the end of a request that arrived at `arrived`.
    pub fn count(&mut self, organisation: usize, arrived: ClockTime, end: RequestEnd) {
        let count = &mut self.organisations[organisation];
        let second = &mut self.seconds[(arrived.as_millis() / 1_000) as usize];
        count.offered += 1;
        second.offered += 1;
        match end {
            RequestEnd::Served => {
                count.served += 1;
                second.served += 1;
            }
            RequestEnd::Slow => count.slow += 1,
            RequestEnd::Late => count.late += 1,
            RequestEnd::Refused => count.refused += 1,
            RequestEnd::Cut => count.cut += 1,
        }
    }

    /// Requests served in time, per second of the run.
    pub fn goodput(&self) -> f64 {
        let served: u64 = self.organisations.iter().map(|count| count.served).sum();
        served as f64 / self.seconds.len() as f64
    }

    /// The percent of requests that were served in time.
    pub fn served_percent(&self) -> f64 {
        self.percent_between(0, self.seconds.len())
    }

    /// The percent of the requests that arrived in these seconds and were
    /// served in time.
    pub fn percent_between(&self, from: usize, to: usize) -> f64 {
        let range = &self.seconds[from..to.min(self.seconds.len())];
        let offered: u64 = range.iter().map(|second| second.offered).sum();
        let served: u64 = range.iter().map(|second| second.served).sum();
        served as f64 * 100.0 / offered.max(1) as f64
    }

    /// The percent of its requests that the worst-served organisation got,
    /// leaving out the organisation that `flooding` names.
    pub fn worst_percent(&self, flooding: Option<usize>) -> f64 {
        let counted = self.organisations.iter().enumerate();
        counted
            .filter(|(index, _)| Some(*index) != flooding)
            .map(|(_, count)| count.percent())
            .fold(100.0, f64::min)
    }

    /// The 95th percentile of the time to the first token.
    pub fn first_token_p95(&self) -> f64 {
        self.first_token.value_at_quantile(0.95) as f64
    }

    /// Requests refused, of all.
    pub fn refused_percent(&self) -> f64 {
        self.share_of(|count| count.refused)
    }

    /// Requests whose tokens came too slowly, of all.
    pub fn slow_percent(&self) -> f64 {
        self.share_of(|count| count.slow)
    }

    /// Requests whose callers left before the first token, of all.
    pub fn late_percent(&self) -> f64 {
        self.share_of(|count| count.late)
    }

    /// Requests lost on the way, of all.
    pub fn cut_percent(&self) -> f64 {
        self.share_of(|count| count.cut)
    }

    fn share_of<Part>(&self, part: Part) -> f64
    where
        Part: Fn(&OrganisationCount) -> u64,
    {
        let offered: u64 = self.organisations.iter().map(|c| c.offered).sum();
        let counted: u64 = self.organisations.iter().map(part).sum();
        counted as f64 * 100.0 / offered.max(1) as f64
    }
}
