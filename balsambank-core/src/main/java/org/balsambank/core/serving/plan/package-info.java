/** What the operator asks for: routes, services, teams and limits. */
package org.balsambank.core.serving.plan;
