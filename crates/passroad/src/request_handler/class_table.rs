//! The request classes that commands may name, by the current configuration and for a while by the previous one.

use passroad_choice::{BalancerConfig, RequestClassConfig};
use std::time::{Duration, Instant};

/// How long clients may go on naming request classes by the previous configuration.
const PREVIOUS_CLASSES_TIME: Duration = Duration::from_millis(1200);
/// The request classes and tenants that commands may name, each class with its index in the decision module.
pub struct ClassTable {
    pub classes: Vec<(RequestClassConfig, usize)>,
    previous_classes: Vec<(RequestClassConfig, usize)>, // of the previous configuration
    changed_at: Instant,
    pub tenants: Vec<String>,
}

impl ClassTable {
    /// `indices` are those of the classes in the decision module.
    pub fn new(
        config: &BalancerConfig,
        indices: &[usize],
        previous_classes: Vec<(RequestClassConfig, usize)>,
    ) -> Self {
        ClassTable {
            classes: config
                .classes
                .iter()
                .cloned()
                .zip(indices.iter().copied())
                .collect(),
            previous_classes,
            changed_at: Instant::now(),
            tenants: config
                .tenants
                .iter()
                .map(|tenant| tenant.name.clone())
                .collect(),
        }
    }

    /// Finds the class of a command. Clients name classes by the previous configuration for a while after it has changed. For
    /// `PREVIOUS_CLASSES_TIME` a command that matches a previous class gets that one; for the same time again, it gets one if it
    /// matches no current class. None if no class has the name, an error if the command matches none that has.
    pub fn find(
        &self,
        name: &str,
        matches: impl Fn(&RequestClassConfig) -> bool,
    ) -> Option<Result<&(RequestClassConfig, usize), ()>> {
        let age = self.changed_at.elapsed();
        let previous_classes = self
            .previous_classes
            .iter()
            .filter(|_| age < PREVIOUS_CLASSES_TIME + PREVIOUS_CLASSES_TIME);
        let (first, second): (Vec<_>, Vec<_>) = match age < PREVIOUS_CLASSES_TIME {
            true => (previous_classes.collect(), self.classes.iter().collect()),
            false => (self.classes.iter().collect(), previous_classes.collect()),
        };
        let named = || {
            first
                .iter()
                .chain(&second)
                .filter(|(class, _)| class.name == name)
        };
        named().next()?;
        Some(named().find(|(class, _)| matches(class)).copied().ok_or(()))
    }
}
