//! The names that clients use for classes and tenants, and their ids.

use oakport_core::settings_wire::ParsedSettings;
use oakport_core::{Class, ClassId, Settings, TenantId};
use std::time::Duration;

/// All classes that the settings have ever named, by their ids: a class that was removed keeps its id.
#[derive(Debug)]
pub struct Classes {
    names: Vec<String>,
    classes: Vec<Class>,
    tenants: Vec<String>,
}

impl Classes {
    /// The classes of the first settings, with these settings for the balancer.
    pub fn new(parsed: ParsedSettings) -> (Self, Settings) {
        let classes = Classes {
            names: parsed.class_names,
            classes: parsed.settings.classes.clone(),
            tenants: parsed.tenant_names,
        };
        (classes, parsed.settings)
    }

    /// Applies new settings. Returns them for the balancer, with all classes under their old ids.
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

    /// The class of this name, if the settings in force have one.
    pub fn class_id(&self, name: &str) -> Option<ClassId> {
        position(&self.names, name).filter(|&index| self.classes[index].active).map(ClassId)
    }

    /// The longest deadline of a class of the settings in force.
    pub fn longest_deadline(&self) -> Duration {
        let deadlines = self.classes.iter().filter(|class| class.active).map(|class| class.client_timeout);
        Duration::from_micros(deadlines.max().unwrap_or_default())
    }

    /// The tenant of this name, if the settings in force have one.
    pub fn tenant_id(&self, name: &str) -> Option<TenantId> {
        position(&self.tenants, name).map(TenantId)
    }

    /// Class names in the order of their ids.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// The name of a class; `?` for an id that no class has.
    pub fn name(&self, class: ClassId) -> &str {
        self.names.get(class.0).map_or("?", String::as_str)
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|candidate| candidate == name)
}
