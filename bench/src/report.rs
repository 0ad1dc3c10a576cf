//! Results of an experiment and their printed form.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Serialize;

/// Figures of one arm by name. The name includes the unit.
pub type Figures = BTreeMap<String, f64>;

/// Results of one experiment.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Name of the experiment.
    pub experiment: String,
    /// Seed of the experiment's random numbers.
    pub seed: u64,
    /// Figures by name of the arm.
    pub arms: BTreeMap<String, Figures>,
    /// Number of invariant violations over all arms.
    pub violations: u64,
    /// Curves to plot.
    #[serde(skip)]
    pub curves: Vec<Curve>,
}

/// One line of a plot.
#[derive(Debug, Clone)]
pub struct Curve {
    /// Title of the plot that the curve belongs to.
    pub plot: String,
    /// Label in the legend.
    pub label: String,
    /// Coordinates (x, y).
    pub points: Vec<(f64, f64)>,
}

impl Report {
    /// Creates an empty report.
    pub fn new(experiment: &str, seed: u64) -> Self {
        Self {
            experiment: experiment.to_owned(),
            seed,
            arms: BTreeMap::new(),
            violations: 0,
            curves: Vec::new(),
        }
    }

    /// Sets a figure of an arm.
    pub fn note(&mut self, arm: &str, figure: &str, value: f64) {
        let figures = self.arms.entry(arm.to_owned()).or_default();
        figures.insert(figure.to_owned(), value);
    }

    /// Writes the plots to a folder, if one is given, and prints the figures.
    pub fn finish(&self, json_only: bool, plot: Option<&Path>) -> eyre::Result<()> {
        if let Some(folder) = plot {
            crate::plot::write(self, folder)?;
        }
        self.print(json_only)
    }

    /// Prints a readable table unless `json_only` is set, then one line of JSON.
    pub fn print(&self, json_only: bool) -> eyre::Result<()> {
        if !json_only {
            for (arm, figures) in &self.arms {
                println!("{arm}");
                for (figure, value) in figures {
                    println!("  {figure:<36} {value:>14.4}");
                }
            }
        }
        println!("{}", serde_json::to_string(self)?);
        Ok(())
    }
}
