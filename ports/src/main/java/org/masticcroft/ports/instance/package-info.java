/** Client of the platform's instance list. Start with {@link org.masticcroft.ports.instance.InstanceList}. */
package org.masticcroft.ports.instance;
