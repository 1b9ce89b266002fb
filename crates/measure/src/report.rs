//! Results of a measurement, and how they are printed.

use serde::Serialize;
use tabled::builder::Builder;
use tabled::settings::Style;

/// Bound of a figure.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(tag = "kind", content = "value", rename_all = "kebab-case")]
pub enum Bound {
    /// At most this value.
    AtMost(f64),
    /// At least this value.
    AtLeast(f64),
    /// At most this share of the baseline.
    AtMostOfBaseline(f64),
}

/// One figure with its spread, baseline and bound.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// Name of the quantity.
    pub label: String,
    /// Unit of every number of the figure.
    pub unit: &'static str,
    /// Median of the runs.
    pub median: f64,
    /// Minimum of the runs.
    pub low: f64,
    /// Maximum of the runs.
    pub high: f64,
    /// Number of runs.
    pub runs: usize,
    /// Median of the baseline in the same run.
    pub baseline: Option<f64>,
    /// Bound that the median must meet.
    pub bound: Option<Bound>,
}

impl Figure {
    /// Creates a figure from the results of several runs. At least one result is required.
    pub fn new(label: impl Into<String>, unit: &'static str, samples: &[f64]) -> Self {
        let mut sorted = samples.to_vec();
        sorted.sort_by(f64::total_cmp);
        let at = |index: usize| sorted.get(index).copied().unwrap_or(f64::NAN);
        Self {
            label: label.into(),
            unit,
            median: at(sorted.len() / 2),
            low: at(0),
            high: at(sorted.len().saturating_sub(1)),
            runs: sorted.len(),
            baseline: None,
            bound: None,
        }
    }

    /// Sets the baseline.
    pub fn with_baseline(mut self, baseline: f64) -> Self {
        self.baseline = Some(baseline);
        self
    }

    /// Sets the bound that the median must meet.
    pub fn with_bound(mut self, bound: Bound) -> Self {
        self.bound = Some(bound);
        self
    }

    /// Returns whether the median meets its bound. A missing number does not.
    pub fn holds(&self) -> bool {
        match self.bound {
            None => true,
            Some(Bound::AtMost(bound)) => self.median <= bound,
            Some(Bound::AtLeast(bound)) => self.median >= bound,
            Some(Bound::AtMostOfBaseline(share)) => {
                self.baseline.is_some_and(|baseline| self.median <= baseline * share)
            }
        }
    }

    fn row(&self) -> [String; 6] {
        let baseline = self.baseline.map_or_else(|| "-".to_owned(), number);
        let bound = match self.bound {
            None => "-".to_owned(),
            Some(Bound::AtMost(bound)) => format!("<= {}", number(bound)),
            Some(Bound::AtLeast(bound)) => format!(">= {}", number(bound)),
            Some(Bound::AtMostOfBaseline(share)) => format!("<= {share} x baseline"),
        };
        let verdict = match (self.bound, self.holds()) {
            (None, _) => "-",
            (Some(_), true) => "holds",
            (Some(_), false) => "short",
        };
        let spread = format!("{} to {} ({})", number(self.low), number(self.high), self.runs);
        let figure = format!("{} {}", number(self.median), self.unit);
        [self.label.clone(), figure, spread, baseline, bound, verdict.to_owned()]
    }
}

/// Formats a number with a precision that suits its magnitude.
fn number(value: f64) -> String {
    match value.abs() {
        large if large >= 100.0 => format!("{value:.0}"),
        middle if middle >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}

/// All figures of one measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the measurement.
    pub name: String,
    /// Seed of the run.
    pub seed: u64,
    /// The figures.
    pub figures: Vec<Figure>,
    /// Notes needed to interpret the figures.
    pub notes: Vec<String>,
}

impl Report {
    /// Creates an empty report.
    pub fn new(options: &crate::Options) -> Self {
        let name = options.measurement.to_string();
        Self { name, seed: options.seed, figures: Vec::new(), notes: Vec::new() }
    }

    /// Adds a figure.
    pub fn with_figure(mut self, figure: Figure) -> Self {
        self.figures.push(figure);
        self
    }

    /// Adds a note.
    pub fn with_note(mut self, note: impl Into<String>) -> Self {
        self.notes.push(note.into());
        self
    }

    /// Returns whether every figure meets its bound.
    pub fn holds(&self) -> bool {
        self.figures.iter().all(Figure::holds)
    }

    /// Prints the report to standard output, as one JSON object or as a table.
    pub fn print(&self, json: bool) -> eyre::Result<()> {
        if json {
            println!("{}", serde_json::to_string(self)?);
            return Ok(());
        }
        println!("{} (seed {})", self.name, self.seed);
        let mut table = Builder::default();
        table.push_record(["figure", "median", "spread (runs)", "baseline", "bound", "verdict"]);
        self.figures.iter().for_each(|figure| table.push_record(figure.row()));
        println!("{}", table.build().with(Style::sharp()));
        self.notes.iter().for_each(|note| println!("{note}"));
        Ok(())
    }
}
