/** The operator's configuration: routes, services, teams and limits. */
package org.balsambank.core.serving.plan;
