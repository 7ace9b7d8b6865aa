//! Maps the names that clients use for classes and tenants to ids.

use oakport_core::settings_wire::ParsedSettings;
use oakport_core::{Class, ClassId, Idempotency, Settings, TenantId};
use std::time::Duration;

/// All classes that the settings have ever contained, indexed by id. A removed class keeps its id.
#[derive(Debug)]
pub struct Classes {
    names: Vec<String>,
    classes: Vec<Class>,
    tenants: Vec<String>,
}

impl Classes {
    /// Returns the classes of the initial settings, and these settings for the balancer.
    pub fn new(parsed: ParsedSettings) -> (Self, Settings) {
        let classes = Classes {
            names: parsed.class_names,
            classes: parsed.settings.classes.clone(),
            tenants: parsed.tenant_names,
        };
        (classes, parsed.settings)
    }

    /// Applies new settings. Returns them for the balancer, with known classes under their existing ids.
    pub fn apply_settings(&mut self, parsed: ParsedSettings) -> Settings {
        for class in &mut self.classes {
            class.active = false;
        }
        for (name, class) in parsed.class_names.into_iter().zip(&parsed.settings.classes) {
            match position(&self.names, &name) {
                Some(index) => self.classes[index] = *class,
                None => {
                    self.names.push(name);
                    self.classes.push(*class);
                }
            }
        }
        self.tenants = parsed.tenant_names;
        Settings { classes: self.classes.clone(), ..parsed.settings }
    }

    /// The id of the class with this name, if the current settings contain it.
    pub fn class_id(&self, name: &str) -> Option<ClassId> {
        position(&self.names, name).filter(|&index| self.classes[index].active).map(ClassId)
    }

    /// Whether a request of this class may run more than once.
    pub fn is_idempotent(&self, class: ClassId) -> bool {
        self.classes.get(class.0).is_some_and(|class| class.idempotency == Idempotency::Idempotent)
    }

    /// The longest client timeout among the classes of the current settings.
    pub fn longest_deadline(&self) -> Duration {
        let deadlines = self.classes.iter().filter(|class| class.active).map(|class| class.client_timeout);
        Duration::from_micros(deadlines.max().unwrap_or_default())
    }

    /// The id of the tenant with this name, if the current settings contain it.
    pub fn tenant_id(&self, name: &str) -> Option<TenantId> {
        position(&self.tenants, name).map(TenantId)
    }

    /// Class names, ordered by id.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// The name of a class, or `?` for an unknown id.
    pub fn name(&self, class: ClassId) -> &str {
        self.names.get(class.0).map_or("?", String::as_str)
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|candidate| candidate == name)
}
